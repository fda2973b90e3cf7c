"""Internal protocol between daemons."""

from __future__ import annotations
