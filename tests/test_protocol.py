"""The state machines, fed bytes in random pieces, and what is read at start."""

from __future__ import annotations

import json
import random
from pathlib import Path
from typing import Any

import pytest
from helpers import TAKEN, call, post, submit

from locktide.config import start
from locktide.config.checks import ConfigError
from locktide.protocol import discovery
from locktide.protocol import server_connection as clients
from locktide.protocol import worker_messages as workers
from locktide.protocol.client_connection import (
    ClientHttpConnection,
    ProtocolError,
    UpstreamRequest,
    UpstreamResponse,
)
from locktide.scheduler.events import EndpointEntry
from locktide.scheduler.types import AttemptOutcome, EndpointState

GRADES, NUMBERED = {"view": 6_000_000, "record": 6_000_000}, ("record",)


def heard(
    data: bytes, dice: random.Random | None = None, talk: clients.ServerHttpConnection | None = None
) -> tuple[list[clients.Message], bytes]:
    """Feeds it in random pieces and answers each message; the messages and what was written."""
    talk = talk or clients.ServerHttpConnection(GRADES, NUMBERED)
    found: list[clients.Message] = []
    written = b""
    while not talk.is_final:
        message = talk.next_message()
        if message is not None:
            found.append(message)
            status = message.status if isinstance(message, clients.BadRequest) else 200
            written += b"".join(talk.encode_response(status, b"so\n", [], False))
        elif data:
            size = dice.randint(1, 40) if dice else len(data)
            talk.feed(data[:size])
            data = data[size:]
        else:
            break
    return found, written


@pytest.mark.parametrize("seed", range(20))
def test_messages_come_out_of_any_pieces_as_they_went_in(seed: int) -> None:
    dice = random.Random(seed)
    bodies = [bytes(dice.choices(range(256), k=dice.choice([0, 1, 700]))) for _ in range(6)]
    found: list[clients.Message] = []
    talk = clients.ServerHttpConnection(GRADES, NUMBERED)
    for number, body in enumerate(bodies):
        for whole in (
            submit(
                f"/record?obj={number}",
                body,
                Req_Id=f"id{number}",
                Idempotency_Key=f"k{number}",
                Req_Extra="memory=3,slots=2",
                Req_Retry="1",
                X_Note="caf\xe9",
            ),
            call(id=f"id{number}", **{"from": "w"}, state="running", share=0.25),
        ):
            messages, written = heard(whole, dice, talk)
            found += messages
            assert written.count(b"HTTP/1.1 200") == 1
    assert len(found) == 12
    for number, body in enumerate(bodies):
        one = found[2 * number]
        assert isinstance(one, clients.SubmitRequest)
        assert (one.id, one.service_class, one.target) == (f"id{number}", "record", f"/record?obj={number}")
        assert (one.body, one.width, one.is_retry, one.timeout) == (body, 2.0, True, 480_000)
        told = workers.job(one, 1234)
        onward = dict(told.headers)
        assert onward[b"Idempotency-Key"] == b"k%d" % number and onward[b"X-Note"] == b"caf\xe9"
        assert onward[b"Req-Deadline"] == b"1234u" and b"Host" not in onward
        assert found[2 * number + 1] == clients.Callback(f"id{number}", "w", "running", 0.25, None, b"")
        # What we write to the worker is a message that reads the same on the other side.
        again, _ = heard(b"".join(ClientHttpConnection("w:1").encode_request(told)), dice)
        assert isinstance(again[0], clients.SubmitRequest)
        assert (again[0].id, again[0].target, again[0].body) == (one.id, one.target, body)


@pytest.mark.parametrize("seed", range(30))
def test_noise_is_a_plain_4xx_and_no_crash(seed: int) -> None:
    dice = random.Random(seed)
    whole = bytearray(submit(body=b"x" * 30) + call(id="a", **{"from": "w"}, state="done", result="r"))
    for _ in range(dice.randint(1, 12)):
        whole[dice.randrange(len(whole))] = dice.randrange(256)
    for message in heard(bytes(whole), dice)[0]:
        if isinstance(message, clients.BadRequest):
            assert 400 <= message.status < 500 and message.status != 429


@pytest.mark.parametrize(
    "sent, status",
    [
        (b"what is this\r\n\r\n", 400),
        (b"GET /view HTTP/1.1\r\n\r\n", 400),
        (b"GET /health/ready HTTP/1.1\r\nHost: us\r\n" + b"X: " + b"y" * 70_000, 431),
        (submit("/nowhere"), 404),
        (post("/"), 404),
        (submit().replace(b"POST", b"GET", 1), 405),
        (submit("/health/ready"), 405),
        (call(id="a").replace(b"POST", b"PUT", 1), 405),
        (post("/view", Req_Deadline="480m"), 400),
        (post("/view", Req_Id="a1"), 400),
        (submit(Req_Deadline="soon"), 400),
        (submit(Req_Deadline="480"), 400),
        (submit(Req_Kind="record"), 400),
        (submit("/record"), 400),
        (submit(Req_Extra="slots=none"), 400),
        (submit(Req_Extra="slots=0"), 400),
        (submit(Req_Extra="slots=99999"), 400),
        (submit(Req_Extra="slots=1,slots=2"), 400),
        (submit(Req_Deadline="0m"), 400),
        (submit(Req_Deadline="-5m"), 400),
        (submit(Req_Deadline="999999999999m"), 400),
        (submit(Req_Id="a b"), 400),
        (submit().replace(b"\r\n\r\n", b"\r\nReq-Id: a2\r\n\r\n"), 400),
        (submit().replace(b"Req-Kind: view\r\n", b""), 400),
        (submit() + submit(Req_Id="hidden"), 400),
        (submit("/vie%77", Req_Kind="view"), 404),
        (submit(body=b"x" * 65_537), 413),
        (
            submit().replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
            + b"10000\r\n"
            + b"x" * 65_536
            + b"\r\n1\r\nx\r\n0\r\n\r\n",
            413,
        ),
        (submit().replace(b"Content-Length: 0", b"Transfer-Encoding: gzip"), 400),
        (submit(Transfer_Encoding="chunked") + b"0\r\n\r\n" + submit(Req_Id="hidden"), 400),
        (
            submit().replace(b"Content-Length: 0", b"Transfer-Encoding: chunked").replace(b"/1.1", b"/1.0", 1)
            + b"0\r\n\r\n",
            400,
        ),
        (post("/callback", b"{"), 400),
        (post("/callback", b"[1]"), 400),
        (call(id="a", **{"from": "w"}, state="asleep"), 400),
        (call(id="a", **{"from": "w"}, state="running", share=None), 400),
        (call(id="a", **{"from": "w"}, state="done"), 400),
        (call(id=7, **{"from": "w"}, state="lost"), 400),
    ],
)
def test_what_is_not_taken_gets_a_plain_4xx(sent: bytes, status: int) -> None:
    found, written = heard(sent)
    assert isinstance(found[0], clients.BadRequest) and found[0].status == status
    assert written.startswith(b"HTTP/1.1 %d " % status)
    assert not any(isinstance(message, clients.SubmitRequest) for message in found)


def test_a_body_of_64_kib_is_taken() -> None:
    found, _ = heard(submit(body=b"x" * 65_536))
    assert isinstance(found[0], clients.SubmitRequest) and len(found[0].body) == 65_536


def test_callbacks_mean_what_the_table_says() -> None:
    ends = [
        ("done", AttemptOutcome.DONE),
        ("failed", AttemptOutcome.ERROR),
        ("returned", AttemptOutcome.FULL),
        ("lost", AttemptOutcome.RESET),
    ]
    for state, outcome in ends:
        found, _ = heard(call(id="a", **{"from": "w"}, state=state, result="r\u00e9\n"))
        result = "r\u00e9\n".encode() if state == "done" else b""
        assert found == [clients.Callback("a", "w", state, 0.0, outcome, result)]


@pytest.mark.parametrize(
    "status, headers, outcome",
    [
        (202, {}, None),
        (500, {}, AttemptOutcome.ERROR),
        (503, {"srv-declined": "1"}, AttemptOutcome.FULL),
        (504, {"srv-declined": "1"}, AttemptOutcome.FULL),
        (503, {}, AttemptOutcome.ERROR),
        (503, {"srv-declined": "0"}, AttemptOutcome.ERROR),
        (500, {"srv-declined": "1"}, AttemptOutcome.ERROR),
        (400, {}, AttemptOutcome.UNPROCESSABLE),
        (404, {"srv-declined": "1"}, AttemptOutcome.UNPROCESSABLE),
        (200, {}, AttemptOutcome.ERROR),
    ],
)
def test_replies_mean_what_the_table_says(status: int, headers: dict[str, str], outcome: str | None) -> None:
    assert workers.outcome(UpstreamResponse(status, headers, b"")) == outcome


@pytest.mark.parametrize("seed", range(10))
def test_replies_come_out_of_any_pieces(seed: int) -> None:
    dice, exchange = random.Random(seed), ClientHttpConnection("w:1")
    for body in (b"", b"abc", b"x" * 5000):
        asked = b"".join(exchange.encode_request(UpstreamRequest("POST", "/view", [], b"job")))
        assert asked.endswith(b"\r\n\r\njob") and not exchange.is_idle
        data = b"HTTP/1.1 100 Continue\r\n\r\n" + TAKEN % len(body) + body
        reply = None
        while data:
            assert reply is None
            size = dice.randint(1, 60)
            reply, data = exchange.feed(data[:size]), data[size:]
        assert reply is not None and (reply.status, reply.body) == (202, body) and exchange.is_idle


@pytest.mark.parametrize("told", [b"", b"nonsense\r\n\r\n", TAKEN % 9 + b"half"])
def test_a_reply_that_breaks_off_is_no_reply(told: bytes) -> None:
    exchange = ClientHttpConnection("w:1")
    exchange.encode_request(UpstreamRequest("GET", "/", []))
    with pytest.raises(ProtocolError):
        exchange.feed(told)
        exchange.feed(b"")


def test_no_question_follows_where_the_worker_closes() -> None:
    exchange = ClientHttpConnection("w:1")
    exchange.encode_request(UpstreamRequest("GET", "/", []))
    reply = exchange.feed(b"HTTP/1.1 202 Accepted\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
    assert reply is not None and not exchange.is_idle


ENTRY = {
    "uid": "s-1",
    "endpoint": "127.0.0.1:7070",
    "az": "a",
    "model": "m",
    "pod_group": 3,
    "state": "active",
    "capacity_hint": 1.5,
    "boot_ms": 1796122933760,
}


def test_a_list_is_read_with_start_times_in_microseconds_of_unix_time() -> None:
    sheet = discovery.parse(json.dumps({"rev": 4, "all": False, "targets": [ENTRY]}).encode())
    assert sheet.entries == [EndpointEntry("s-1", "a", "m", 3, EndpointState.READY, 1.5, 1796122933760000)]
    assert (sheet.version, sheet.is_snapshot, sheet.addresses) == (4, False, {"s-1": ("127.0.0.1", 7070)})
    assert discovery.list_request(4, 1000).target == "/registry/instances?after=4&wait_ms=1000"


FIRST = ["settings", "ServiceGrades", 0]
GRADE = {"Name": "view", "Semantics": "free", "SoftLimit": 250.0, "TimeLimit": 6000.0}
WHOLE = {
    "name": "n3",
    "listen": "127.0.0.1:7070",
    "discovery": "127.0.0.1:8500",
    "seed": "8c1f30d27a5be964",
    "limits": {"sockets": 300},
    "known": {"rev": 1, "all": True, "targets": []},
    "settings": {"ServiceGrades": [GRADE], "Ceilings": {"IdleClose": 30000.0, "RetryAfter": True}, "New": {}},
}


def told(tmp_path: Path, whole: Any, **environment: str) -> start.Start:
    path = tmp_path / "start.json"
    path.write_text(whole if isinstance(whole, str) else json.dumps(whole))
    return start.read({"GW_CONFIG": str(path), **environment})


def test_start_is_read_with_defaults_and_variables_go_first(tmp_path: Path) -> None:
    one = told(tmp_path, WHOLE, GW_LISTEN="127.0.0.9:1", GW_NAME="n4")
    assert (one.name, one.listen, one.discovery) == ("n4", ("127.0.0.9", 1), ("127.0.0.1", 8500))
    assert (one.seed, one.descriptors) == (0x8C1F30D27A5BE964, 300)
    assert (one.idle_close, one.connect_within) == (30_000_000, 250_000)
    assert (
        one.scheduler_config.service_classes[0].timeout == 6_000_000
        and one.scheduler_config.dispatcher_count == 1
    )
    moved = {"GW_CONFIG": str(tmp_path / "start.json"), "GW_DISCOVERY": "127.0.0.9:2"}
    assert start.read(moved).discovery == ("127.0.0.9", 2)
    assert start.read(moved, again=True).discovery == ("127.0.0.1", 8500)  # at a reload the file counts


@pytest.mark.parametrize(
    "path, value, said",
    [
        (["listen"], "here", "listen: expected HOST:PORT"),
        (["listen"], "127.0.0.1:99999", "listen: expected HOST:PORT"),
        (["seed"], "xyz", "seed: expected a hexadecimal number"),
        (["limits"], [], "limits: expected an object"),
        (["limits", "sockets"], 3, "limits.sockets: expected at least 32"),
        (["limits", "sockets"], True, "limits.sockets: expected a number"),
        (["settings"], None, "settings: expected an object"),
        (["settings", "Step"], "4ms", "settings.Step: expected a number"),
        (["settings", "FleetSize"], 1.5, "settings.FleetSize: expected a whole number"),
        (["settings", "ServiceGrades"], [], "settings.ServiceGrades: expected at least one"),
        ([*FIRST, "TimeLimit"], -1, "settings.ServiceGrades[0].TimeLimit: expected at least 0"),
        ([*FIRST, "Semantics"], "odd", "settings.ServiceGrades[0].Semantics: expected one of"),
        ([*FIRST, "Name"], 4, "settings.ServiceGrades[0].Name: expected a text"),
        (["settings", "Ceilings", "RetryAfter"], 1, "settings.Ceilings.RetryAfter: expected true or false"),
        (["settings", "WeightKind"], "lively", "settings.WeightKind: expected one of silent"),
        (["settings", "Prices"], {"Handshake": "dear"}, "settings.Prices.Handshake: expected a number"),
        (["settings", "Prices"], {"CrossZone": -1}, "settings.Prices.CrossZone: expected at least 0"),
        (["settings", "Zone"], 3, "settings.Zone: expected a text"),
    ],
)
def test_a_faulty_key_is_named(tmp_path: Path, path: list[Any], value: Any, said: str) -> None:
    whole = json.loads(json.dumps(WHOLE))
    spot = whole
    for step in path[:-1]:
        spot = spot[step]
    spot[path[-1]] = value
    with pytest.raises(ConfigError) as trouble:
        told(tmp_path, whole)
    assert str(trouble.value).startswith(said)


def test_what_is_missing_or_no_json_is_named(tmp_path: Path) -> None:
    empty = {**WHOLE, "settings": {}}
    for whole, said in [(empty, "settings.ServiceGrades: is missing"), ("{", "GW_CONFIG: ")]:
        with pytest.raises(ConfigError) as trouble:
            told(tmp_path, whole)
        assert str(trouble.value).startswith(said)
    with pytest.raises(ConfigError, match=r"known\.targets\[0\]\.state: expected one of"):
        discovery.read({"rev": 1, "all": True, "targets": [{**ENTRY, "state": "odd"}]}, "known")
