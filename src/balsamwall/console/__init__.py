"""Command-line tool."""

from __future__ import annotations
