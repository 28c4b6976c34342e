"""Thrift frames between routers and agents, their connections and datagrams."""

from .connections import (
    REASON_SILENT,
    FrameStamp,
    PeerConnection,
    Traffic,
    connect_peer,
    listen_peers,
)
from .datagrams import DatagramPort, open_datagrams
from .frames import FrameReader, decode_message, encode_frame, encode_message
from .messages import Frame

__all__ = [
    "DatagramPort",
    "Frame",
    "FrameReader",
    "FrameStamp",
    "PeerConnection",
    "REASON_SILENT",
    "Traffic",
    "connect_peer",
    "decode_message",
    "encode_frame",
    "encode_message",
    "listen_peers",
    "open_datagrams",
]
