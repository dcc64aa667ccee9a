"""Responses of workers, fed to the client side in random pieces."""

from __future__ import annotations

import random

import pytest
from helpers import ACCEPTED_RESPONSE

from locktide.protocol.client_connection import ClientHttpConnection, UpstreamRequest
from locktide.protocol.errors import ProtocolError


@pytest.mark.parametrize("seed", range(10))
def test_responses_fed_in_any_pieces_are_read_as_sent(seed: int) -> None:
    generator, http = random.Random(seed), ClientHttpConnection("w:1")
    for body in (b"", b"abc", b"x" * 5000):
        request = b"".join(http.encode_request(UpstreamRequest("POST", "/view", [], b"job")))
        assert request.endswith(b"\r\n\r\njob") and not http.is_idle
        data = b"HTTP/1.1 100 Continue\r\n\r\n" + ACCEPTED_RESPONSE % len(body) + body
        response = None
        while data:
            assert response is None
            size = generator.randint(1, 60)
            response, data = http.feed(data[:size]), data[size:]
        assert response is not None and (response.status, response.body) == (202, body) and http.is_idle


@pytest.mark.parametrize("data", [b"", b"nonsense\r\n\r\n", ACCEPTED_RESPONSE % 9 + b"half"])
def test_response_that_breaks_off_is_a_protocol_error(data: bytes) -> None:
    """A worker dies while it responds, or something that is no HTTP server listens on its port.

    The dispatcher has received a part of a response, or bytes that are not one. It must not treat them as a
    response: the error says that the peer is at fault, and names it.
    """
    http = ClientHttpConnection("w:1")
    http.encode_request(UpstreamRequest("GET", "/", []))
    with pytest.raises(ProtocolError, match="^w:1: ") as caught:
        http.feed(data)
        http.feed(b"")
    assert caught.value.peer == "w:1"


def test_connection_that_the_worker_closes_is_not_idle() -> None:
    """A worker responds and says that it will close the connection.

    A further request on it would meet a closed socket, and it would not be known whether it ran. The
    connection must not be offered for another request.
    """
    http = ClientHttpConnection("w:1")
    http.encode_request(UpstreamRequest("GET", "/", []))
    response = http.feed(b"HTTP/1.1 202 Accepted\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
    assert response is not None and not http.is_idle


def test_connection_with_bytes_behind_its_response_is_not_idle() -> None:
    """A worker sends more bytes than its response has.

    They would be read as the beginning of the response to the next request, and one job would get the
    outcome of another. The connection must not be offered for another request.
    """
    http = ClientHttpConnection("w:1")
    http.encode_request(UpstreamRequest("GET", "/", []))
    assert http.feed(ACCEPTED_RESPONSE % 0 + b"HTTP/1.1 200") is not None
    assert http.has_unparsed_bytes and not http.is_idle


def test_response_over_the_size_limit_is_a_protocol_error() -> None:
    """A faulty worker sends a response without end.

    The dispatcher must not fill its memory with it, and must fail as soon as the limit is passed.
    """
    http = ClientHttpConnection("w:1", max_body_size=10)
    http.encode_request(UpstreamRequest("GET", "/", []))
    assert http.feed(ACCEPTED_RESPONSE % 20 + b"x" * 10) is None
    with pytest.raises(ProtocolError, match="w:1: its response has over 10 bytes"):
        http.feed(b"x")
