"""Settings in force: effects of a reload on open requests."""

from __future__ import annotations

from dataclasses import replace

from helpers import DispatcherHarness, run_with_dispatcher, scheduler_config, submit_request

from locktide.config.start import Start
from locktide.scheduler.commands import FailRequest

HERE = ("127.0.0.1", 9)


def test_reload_with_shorter_timeouts_does_not_shorten_how_long_an_id_is_known() -> None:
    """A request arrives under a long timeout, and a reload sets shorter ones.

    Its worker may remember its id for as long as the old timeout. If the id were forgotten here after the new
    timeout, another request could use it, and the worker would confuse the two. The id must stay known for
    the longest timeout so far.
    """

    async def scenario(harness: DispatcherHarness) -> None:
        longest_timeout = harness.dispatcher.settings.longest_timeout
        harness.dispatcher.submit(submit_request("a"))
        config = scheduler_config(3, 1, False, 0.4)
        shorter = [replace(service_class, timeout=50_000) for service_class in config.service_classes]
        config = replace(config, service_classes=shorter)
        harness.dispatcher.updater.apply(
            Start("n0", HERE, HERE, 7, 100, 80 << 20, {}, 250_000, 30_000_000, config)
        )
        assert set(harness.dispatcher.listener.timeouts.values()) == {50_000}
        before = harness.dispatcher.loop.time()
        harness.dispatcher.bridge.execute(FailRequest("a"))
        await harness.run_pending_tasks()
        assert harness.dispatcher.registry.answered_ids["a"] - before >= longest_timeout / 1e6 > 0.05

    run_with_dispatcher(scenario)
