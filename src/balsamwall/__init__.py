"""Serving system for more models than the accelerators hold at once."""

from __future__ import annotations

__version__ = "0.1.0"
