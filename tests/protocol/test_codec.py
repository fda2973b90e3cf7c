"""Tests of the codec."""

from __future__ import annotations

import unittest

import hypothesis
from hypothesis import strategies
import msgpack

from balsamwall.protocol import codec
from balsamwall.protocol import exceptions
from balsamwall.protocol import messages_request


class CodecTest(unittest.TestCase):
    """Guard against frames that crash or confuse a process."""

    def test_round_trip(self) -> None:
        """A field lost on the wire would change an answer."""
        item = messages_request.Chunk("r-1", 2, 17, b"\x00data")
        self.assertEqual(item, codec.decode(codec.encode(item)))

    def test_wrong_field_type(self) -> None:
        """An offset that is not an integer must not reach a request."""
        frame = msgpack.packb([13, "r-1", 2, "17", b"data"])
        with self.assertRaises(exceptions.ProtocolError):
            codec.decode(frame)

    def test_bool_is_not_an_integer(self) -> None:
        """True must not pass as the offset 1."""
        frame = msgpack.packb([13, "r-1", 2, True, b"data"])
        with self.assertRaises(exceptions.ProtocolError):
            codec.decode(frame)

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=500)
    @hypothesis.given(strategies.binary(max_size=200))
    def test_arbitrary_bytes(self, data: bytes) -> None:
        """Arbitrary input must raise nothing but ProtocolError."""
        try:
            codec.decode(data)
        except exceptions.ProtocolError:
            pass
