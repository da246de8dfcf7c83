"""Msgpack messages and length-prefixed frames."""

from collections.abc import Iterator
from typing import TypeVar

import msgspec

from ..errors import CodecError
from .messages import Frame

FRAME_HEADER_BYTES = 4
MAX_FRAME_BYTES = 4 * 1024 * 1024

T = TypeVar("T")

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Frame)


def decode_message(
    decoder: msgspec.msgpack.Decoder[T],
    data: bytes,
    peer: str,
    step: str = "decode datagram",
) -> T:
    """Decode a message from a peer; raise ``CodecError`` if it is malformed."""
    try:
        return decoder.decode(data)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise CodecError(f"malformed message: {error}", step=step, peer=peer) from error


def encode_frame(frame: Frame) -> bytes:
    """Return the frame with its length prefix."""
    body = _encoder.encode(frame)
    if len(body) > MAX_FRAME_BYTES:
        raise CodecError(
            f"frame of {len(body)} bytes exceeds the limit of {MAX_FRAME_BYTES}",
            step="encode frame",
        )
    return len(body).to_bytes(FRAME_HEADER_BYTES, "big") + body


class FrameReader:
    """Incremental decoder of a byte stream into frames."""

    def __init__(self, peer: str, max_frame_bytes: int = MAX_FRAME_BYTES) -> None:
        self.peer = peer
        self.max_frame_bytes = max_frame_bytes
        self.buffer = bytearray()

    def feed(self, data: bytes) -> Iterator[Frame]:
        """Add received bytes and yield each frame that is now complete."""
        self.buffer += data
        while (frame := self.next_frame()) is not None:
            yield frame

    def next_frame(self) -> Frame | None:
        """Return the next complete frame, or None if bytes are missing."""
        if len(self.buffer) < FRAME_HEADER_BYTES:
            return None
        size = int.from_bytes(self.buffer[:FRAME_HEADER_BYTES], "big")
        if size > self.max_frame_bytes:
            raise CodecError(
                f"peer announced a frame of {size} bytes,"
                f" the limit is {self.max_frame_bytes}",
                step="decode frame",
                peer=self.peer,
            )
        end = FRAME_HEADER_BYTES + size
        if len(self.buffer) < end:
            return None
        body = bytes(self.buffer[FRAME_HEADER_BYTES:end])
        del self.buffer[:end]
        return self.decode(body)

    def decode(self, body: bytes) -> Frame:
        """Decode the body of one frame."""
        try:
            return _decoder.decode(body)
        except msgspec.MsgspecError as error:
            raise CodecError(
                f"malformed frame: {error}", step="decode frame", peer=self.peer
            ) from error
