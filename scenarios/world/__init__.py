"""Whole fleet in virtual time, with small fakes at the interfaces."""

from __future__ import annotations
