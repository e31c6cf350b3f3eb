"""Rude peers: each sends one proper POST whose body comes in chunks of one byte, and sends the next one after it.

Arguments: ADDRESS PORT COUNT SECONDS. The bodies are smaller than `parcelBytes`.
"""

from __future__ import annotations

import asyncio
import contextlib
import sys
import time
import uuid

BODY_BYTES = 4_000_000  # below parcelBytes
CHUNKS_PER_BLOCK = 4000
BLOCK = b"1\r\nx\r\n" * CHUNKS_PER_BLOCK
BLOCK_EVERY_S = 0.08  # at most: 300 kB a second, 2.4 Mbit/s


async def peer(address: str, port: int, until: float) -> None:
    """Sends requests, one after the other, on new connections."""
    while time.monotonic() < until:
        with contextlib.suppress(OSError):
            _reader, writer = await asyncio.open_connection(address, port)
            head = (
                "POST /doc/1 HTTP/1.1\r\nHost: ficu95.example\r\nX-Time-Left-Ms: 60000\r\n"
                f"X-Attempt-Id: rude{uuid.uuid4().hex[:12]}\r\nTransfer-Encoding: chunked\r\n\r\n"
            )
            writer.write(head.encode())
            for _block in range(BODY_BYTES // CHUNKS_PER_BLOCK):
                if time.monotonic() > until:
                    break
                writer.write(BLOCK)
                await asyncio.sleep(BLOCK_EVERY_S)
                await writer.drain()
            writer.close()


async def main() -> None:
    """Runs all peers until the time is over."""
    address, port, count, seconds = sys.argv[1], int(sys.argv[2]), int(sys.argv[3]), float(sys.argv[4])
    until = time.monotonic() + seconds
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(seconds + 1.0):
            await asyncio.gather(*(peer(address, port, until) for _number in range(count)))


if __name__ == "__main__":
    asyncio.run(main())
