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
    """Guard against frames that crash a process or are misread."""

    def test_round_trip(self) -> None:
        """Guard against fields that are lost or changed by encoding."""
        item = messages_request.Chunk("r-1", 2, 17, b"\x00data")
        self.assertEqual(item, codec.decode(codec.encode(item)))

    def test_wrong_field_type(self) -> None:
        """Guard against a field of the wrong type that reaches a request."""
        frame = msgpack.packb([13, "r-1", 2, "17", b"data"])
        with self.assertRaises(exceptions.ProtocolError):
            codec.decode(frame)

    def test_bool_is_not_an_integer(self) -> None:
        """Guard against True being accepted as the integer 1."""
        frame = msgpack.packb([13, "r-1", 2, True, b"data"])
        with self.assertRaises(exceptions.ProtocolError):
            codec.decode(frame)

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=500)
    @hypothesis.given(strategies.binary(max_size=200))
    def test_arbitrary_bytes(self, data: bytes) -> None:
        """Guard against exceptions other than ProtocolError on any input."""
        try:
            codec.decode(data)
        except exceptions.ProtocolError:
            pass
