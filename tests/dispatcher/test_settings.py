"""Settings in force: what a reload may change for requests that are open."""

from __future__ import annotations

from dataclasses import replace

from helpers import HandPlayed, run_story, submission, terms

from locktide.config.start import Start
from locktide.scheduler.commands import FailRequest

HERE = ("127.0.0.1", 9)


def test_reload_with_shorter_timeouts_does_not_shorten_how_long_an_id_is_known() -> None:
    """A request comes under a long timeout, and a reload brings shorter ones.

    Its worker may know its id for as long as the old timeout. Forgotten here by the new one, the id could be
    given to another request, and the worker would take one for the other. The id must stay known for the
    longest timeout so far.
    """

    async def story(play: HandPlayed) -> None:
        longest_timeout = play.node.settings.longest_timeout
        play.node.submit(submission("a"))
        config = terms(3, 1, False, 0.4)
        shorter = [replace(each, timeout=50_000) for each in config.service_classes]
        config = replace(config, service_classes=shorter)
        play.node.updater.apply(Start("n0", HERE, HERE, 7, 100, 80 << 20, {}, 250_000, 30_000_000, config))
        assert set(play.node.listener.timeouts.values()) == {50_000}
        before = play.node.loop.time()
        play.node.bridge.execute(FailRequest("a"))
        await play.settle()
        assert play.node.registry.answered_ids["a"] - before >= longest_timeout / 1e6 > 0.05

    run_story(story)
