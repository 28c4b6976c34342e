"""A proxy of which the open channels can go silent, while new ones work."""

import asyncio
from dataclasses import dataclass, field

PIECE_BYTES = 65_536


@dataclass(slots=True)
class ProxiedChannel:
    """One channel; once ``silent``, its bytes are dropped and its ends stay open."""

    writers: tuple[asyncio.StreamWriter, asyncio.StreamWriter]
    silent: bool = False
    ended: bool = False


@dataclass(slots=True)
class Proxy:
    """A listener that passes channels on to ``target``, IP:port."""

    target: str
    channels: list[ProxiedChannel] = field(default_factory=list)
    server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        """Return the address that it listens on, IP:port."""
        host, port = self.server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"


async def start_proxy(target: str) -> Proxy:
    """Start a proxy."""
    proxy = Proxy(target)

    async def serve(reader, writer):
        await pass_on(proxy, reader, writer)

    proxy.server = await asyncio.start_server(serve, "127.0.0.1", 0)
    return proxy


def silence_open(proxy: Proxy) -> int:
    """Make all open channels silent for good; return how many there are."""
    channels = [one for one in proxy.channels if not (one.silent or one.ended)]
    for channel in channels:
        channel.silent = True
    return len(channels)


def close_proxy(proxy: Proxy) -> None:
    """Stop listening and close all channels, silent ones too."""
    proxy.server.close()
    for channel in proxy.channels:
        for writer in channel.writers:
            writer.close()


async def pass_on(proxy: Proxy, reader, writer) -> None:
    """Pass the bytes of one channel on, both ways."""
    host, port = proxy.target.split(":")
    there_reader, there_writer = await asyncio.open_connection(host, int(port))
    channel = ProxiedChannel((writer, there_writer))
    proxy.channels.append(channel)
    await asyncio.gather(
        forward(channel, reader, there_writer), forward(channel, there_reader, writer)
    )


async def forward(channel: ProxiedChannel, reader, writer) -> None:
    """Pass bytes on in one direction, until that ends or the channel is silent."""
    try:
        while data := await reader.read(PIECE_BYTES):
            if not channel.silent:
                writer.write(data)
    except ConnectionError:
        pass
    if not channel.silent:
        channel.ended = True
        writer.close()
