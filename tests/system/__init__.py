"""End-to-end tests of the system as processes on loopback."""

from __future__ import annotations
