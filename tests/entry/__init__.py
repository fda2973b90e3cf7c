"""Tests of the HTTP interfaces of the entry role."""

from __future__ import annotations
