"""Messages of clients and workers, fed to the server side in random pieces."""

from __future__ import annotations

import random

import pytest
from helpers import callback_bytes, post_bytes, submit_bytes

from locktide.protocol import worker_messages
from locktide.protocol.client_connection import ClientHttpConnection
from locktide.protocol.messages import BadRequest, Callback, HealthQuery, Message, SubmitRequest
from locktide.protocol.server_connection import ServerHttpConnection
from locktide.scheduler.types import AttemptOutcome

TIMEOUTS, KEYED_CLASSES = {"view": 6_000_000, "record": 6_000_000}, ("record",)


def exchange_messages(
    data: bytes, generator: random.Random | None = None, http: ServerHttpConnection | None = None
) -> tuple[list[Message], bytes]:
    """Feed data in random pieces and respond to each message; return the messages and what was written."""
    http = http or ServerHttpConnection(TIMEOUTS, KEYED_CLASSES)
    messages: list[Message] = []
    written = b""
    while not http.is_final:
        message = http.next_message()
        if message is not None:
            messages.append(message)
            status = message.status if isinstance(message, BadRequest) else 200
            written += b"".join(http.encode_response(status, b"so\n", [], False))
        elif data:
            size = generator.randint(1, 40) if generator else len(data)
            http.feed(data[:size])
            data = data[size:]
        else:
            break
    return messages, written


@pytest.mark.parametrize("seed", range(20))
def test_messages_fed_in_any_pieces_are_read_as_sent(seed: int) -> None:
    generator = random.Random(seed)
    bodies = [bytes(generator.choices(range(256), k=generator.choice([0, 1, 700]))) for _ in range(6)]
    received: list[Message] = []
    http = ServerHttpConnection(TIMEOUTS, KEYED_CLASSES)
    for number, body in enumerate(bodies):
        for data in (
            submit_bytes(
                f"/record?obj={number}",
                body,
                Req_Id=f"id{number}",
                Idempotency_Key=f"k{number}",
                Req_Extra="memory=3,slots=2",
                Req_Retry="1",
                X_Note="caf\xe9",
            ),
            callback_bytes(id=f"id{number}", **{"from": "w"}, state="running", share=0.25),
        ):
            messages, written = exchange_messages(data, generator, http)
            received += messages
            assert written.count(b"HTTP/1.1 200") == 1
    assert len(received) == 12
    for number, body in enumerate(bodies):
        submission = received[2 * number]
        assert isinstance(submission, SubmitRequest)
        assert (submission.id, submission.service_class, submission.target) == (
            f"id{number}",
            "record",
            f"/record?obj={number}",
        )
        assert (submission.body, submission.width, submission.is_retry, submission.timeout) == (
            body,
            2.0,
            True,
            480_000,
        )
        upstream_request = worker_messages.job_request(submission, 1234)
        forwarded_fields = dict(upstream_request.headers)
        assert (
            forwarded_fields[b"Idempotency-Key"] == b"k%d" % number
            and forwarded_fields[b"X-Note"] == b"caf\xe9"
        )
        assert forwarded_fields[b"Req-Deadline"] == b"1234u" and b"Host" not in forwarded_fields
        assert received[2 * number + 1] == Callback(f"id{number}", "w", "running", 0.25, None, b"")
        # The request that is written to the worker is parsed to the same message there.
        reparsed, _ = exchange_messages(
            b"".join(ClientHttpConnection("w:1").encode_request(upstream_request)), generator
        )
        assert isinstance(reparsed[0], SubmitRequest)
        assert (reparsed[0].id, reparsed[0].target, reparsed[0].body) == (
            submission.id,
            submission.target,
            body,
        )


@pytest.mark.parametrize("seed", range(30))
def test_noise_is_rejected_with_a_4xx(seed: int) -> None:
    """Bytes of a request are changed at random, as by a port scanner or a broken proxy.

    Whatever arrives, the connection must neither raise nor respond with a 5xx: the fault is the sender's. 429
    is reserved for overload, and must not be the response either.
    """
    generator = random.Random(seed)
    data = bytearray(
        submit_bytes(body=b"x" * 30) + callback_bytes(id="a", **{"from": "w"}, state="done", result="r")
    )
    for _ in range(generator.randint(1, 12)):
        data[generator.randrange(len(data))] = generator.randrange(256)
    for message in exchange_messages(bytes(data), generator)[0]:
        if isinstance(message, BadRequest):
            assert 400 <= message.status < 500 and message.status != 429


@pytest.mark.parametrize(
    "data, status",
    [
        (b"what is this\r\n\r\n", 400),
        (b"GET /view HTTP/1.1\r\n\r\n", 400),
        (b"GET /health/ready HTTP/1.1\r\nHost: us\r\n" + b"X: " + b"y" * 70_000, 431),
        (submit_bytes("/nowhere"), 404),
        (post_bytes("/"), 404),
        (submit_bytes().replace(b"POST", b"GET", 1), 405),
        (submit_bytes("/health/ready"), 405),
        (callback_bytes(id="a").replace(b"POST", b"PUT", 1), 405),
        (post_bytes("/view", Req_Deadline="480m"), 400),
        (post_bytes("/view", Req_Id="a1"), 400),
        (submit_bytes(Req_Deadline="soon"), 400),
        (submit_bytes(Req_Deadline="480"), 400),
        (submit_bytes(Req_Kind="record"), 400),
        (submit_bytes("/record"), 400),
        (submit_bytes(Req_Extra="slots=none"), 400),
        (submit_bytes(Req_Extra="slots=0"), 400),
        (submit_bytes(Req_Extra="slots=99999"), 400),
        (submit_bytes(Req_Extra="slots=1,slots=2"), 400),
        (submit_bytes(Req_Deadline="0m"), 400),
        (submit_bytes(Req_Deadline="-5m"), 400),
        (submit_bytes(Req_Deadline="999999999999m"), 400),
        (submit_bytes(Req_Id="a b"), 400),
        (submit_bytes().replace(b"\r\n\r\n", b"\r\nReq-Id: a2\r\n\r\n"), 400),
        (submit_bytes().replace(b"Req-Kind: view\r\n", b""), 400),
        (submit_bytes() + submit_bytes(Req_Id="hidden"), 400),
        (submit_bytes("/vie%77", Req_Kind="view"), 404),
        (submit_bytes(body=b"x" * 65_537), 413),
        (
            submit_bytes().replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
            + b"10000\r\n"
            + b"x" * 65_536
            + b"\r\n1\r\nx\r\n0\r\n\r\n",
            413,
        ),
        (submit_bytes().replace(b"Content-Length: 0", b"Transfer-Encoding: gzip"), 400),
        (submit_bytes(Transfer_Encoding="chunked") + b"0\r\n\r\n" + submit_bytes(Req_Id="hidden"), 400),
        (submit_bytes(Transfer_Encoding="chunked") + b"0\r\n\r\n", 400),
        (
            submit_bytes()
            .replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
            .replace(b"/1.1", b"/1.0", 1)
            + b"0\r\n\r\n",
            400,
        ),
        (post_bytes("/callback", b"{"), 400),
        (post_bytes("/callback", b"[1]"), 400),
        (callback_bytes(id="a", **{"from": "w"}, state="asleep"), 400),
        (callback_bytes(id="a", **{"from": "w"}, state="running", share=None), 400),
        (callback_bytes(id="a", **{"from": "w"}, state="done"), 400),
        (callback_bytes(id=7, **{"from": "w"}, state="lost"), 400),
    ],
)
def test_bad_request_is_rejected_with_its_4xx(data: bytes, status: int) -> None:
    """A client sends a request with a fault, or one whose end two parsers would find at different places.

    In the second case a request could be hidden in the body of another, and run without the checks of the
    first. Each must be rejected with the 4xx of its fault, and no part of it may become a request.
    """
    messages, written = exchange_messages(data)
    assert isinstance(messages[0], BadRequest) and messages[0].status == status
    assert written.startswith(b"HTTP/1.1 %d " % status)
    assert not any(isinstance(message, SubmitRequest) for message in messages)


def test_head_request_gets_the_header_of_its_response_alone() -> None:
    """A load balancer checks the health with HEAD, and reuses the connection.

    A body after the header would be read as the beginning of the next response.
    """
    head = b"HEAD /health/ready HTTP/1.1\r\nHost: us\r\n\r\n"
    messages, written = exchange_messages(head + head)
    assert messages == [HealthQuery(ready=True)] * 2
    assert written.count(b"HTTP/1.1 200") == 2 and written.count(b"Content-Length: 3") == 2
    assert b"so" not in written


def test_second_response_to_a_message_is_not_sent() -> None:
    """A message is rejected before its end, and a second response to it is encoded later.

    On the wire the second one would be read as the response to the next request. Nothing may be written, and
    nothing may follow on the connection.
    """
    http = ServerHttpConnection(TIMEOUTS, KEYED_CLASSES)
    http.feed(submit_bytes(body=b"x" * 100)[:-50])
    assert http.next_message() is None
    assert b"408" in b"".join(http.encode_response(408, b"half a message\n", [], True))
    assert http.encode_response(200, b"", [], False) == [] and http.is_final


def test_body_is_not_counted_as_buffered_once_its_request_was_returned() -> None:
    """A client waits long for the response to a large request.

    By then the request has the body. If the connection counted it as well, the listener would reject other
    clients for lack of memory that nothing uses.
    """
    http = ServerHttpConnection(TIMEOUTS, KEYED_CLASSES)
    data = submit_bytes(body=b"x" * 1000)
    http.feed(data[:-1])
    assert http.next_message() is None and http.buffered_bytes == 999
    http.feed(data[-1:])
    assert isinstance(http.next_message(), SubmitRequest) and http.buffered_bytes == 0


def test_body_of_64_kib_is_accepted() -> None:
    messages, _ = exchange_messages(submit_bytes(body=b"x" * 65_536))
    assert isinstance(messages[0], SubmitRequest) and len(messages[0].body) == 65_536


def test_final_callback_states_end_an_attempt_with_their_outcome() -> None:
    ends = [
        ("done", AttemptOutcome.DONE),
        ("failed", AttemptOutcome.ERROR),
        ("returned", AttemptOutcome.FULL),
        ("lost", AttemptOutcome.RESET),
    ]
    for state, outcome in ends:
        messages, _ = exchange_messages(
            callback_bytes(id="a", **{"from": "w"}, state=state, result="r\u00e9\n")
        )
        result = "r\u00e9\n".encode() if state == "done" else b""
        assert messages == [Callback("a", "w", state, 0.0, outcome, result)]


@pytest.mark.parametrize("share", ["NaN", "-3", "1e999", "1" + 400 * "0", '"half"', "null", "{}"])
def test_progress_out_of_range_is_clamped_or_rejected(share: str) -> None:
    """A worker computes its progress wrongly and reports NaN, a negative number or one beyond any range.

    Such a number would distort the estimates of run times, and with them each later decision. It must be
    clamped to a fraction, or the callback must be rejected.
    """
    http = ServerHttpConnection({"view": 3_000_000}, [])
    callback = f'{{"id": "a", "from": "w0", "state": "running", "share": {share}}}'
    http.feed(post_bytes("/callback", callback.encode()))
    message = http.next_message()
    if isinstance(message, Callback):
        assert 0.0 <= message.fraction_done <= 1.0
    else:
        assert isinstance(message, BadRequest) and message.status == 400
