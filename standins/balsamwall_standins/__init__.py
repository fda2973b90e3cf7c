"""Fakes of the outside systems for tests and trial runs."""

from __future__ import annotations
