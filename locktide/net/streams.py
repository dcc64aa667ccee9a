"""What the drivers that ask have in common: how much is read at once, and a reply read to its end."""

from __future__ import annotations

import asyncio

from locktide.protocol.exchange import Exchange, Reply

READ = 65536


async def reply_on(reader: asyncio.StreamReader, exchange: Exchange) -> Reply:
    reply = None
    while reply is None:
        reply = exchange.feed(await reader.read(READ))
    return reply
