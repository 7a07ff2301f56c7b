"""Reads HTTP/1.1 messages from asyncio streams."""

from __future__ import annotations

import asyncio
import random
import socket

HOST = "127.0.0.1"
# Below the usual range of ephemeral ports.
FIRST_PORT, LAST_PORT = 20_000, 32_000
# What ends an exchange on a connection: its end, or a head that can't be read.
BROKEN = (OSError, ValueError, asyncio.IncompleteReadError, asyncio.LimitOverrunError)


def find_free_port(kind: int = socket.SOCK_STREAM) -> int:
    """Finds a loopback port that nobody uses."""
    while True:
        port = random.SystemRandom().randrange(FIRST_PORT, LAST_PORT)
        with socket.socket(socket.AF_INET, kind) as candidate:
            try:
                candidate.bind((HOST, port))
            except OSError:
                continue
            return port


async def read_head(reader: asyncio.StreamReader) -> tuple[list[str], dict[str, str]]:
    """Reads a head: the words of its first line, and its headers in lower case."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in filter(None, lines[1:]):
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return lines[0].split(" ", 2), headers


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Reads a body with a length or in chunks."""
    if headers.get("transfer-encoding", "").lower() != "chunked":
        return await reader.readexactly(int(headers.get("content-length", 0)))
    body = b""
    while size := int(await reader.readline(), 16):
        body += await reader.readexactly(size)
        await reader.readline()
    await reader.readline()
    return body


def make_message(
    first_line: str, headers: dict[str, object], body: bytes = b""
) -> bytes:
    """Encodes a message with a body of known length."""
    fields = {**headers, "Content-Length": len(body)}
    lines = [first_line, *(f"{name}: {value}" for name, value in fields.items())]
    return "\r\n".join([*lines, "", ""]).encode() + body


async def serve(handle, port: int = 0) -> tuple[asyncio.Server, int]:
    """Serves connections with `handle`, whose errors end just the connection."""

    async def run(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await handle(reader, writer)
        except (*BROKEN, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(run, HOST, port)
    return server, server.sockets[0].getsockname()[1]
