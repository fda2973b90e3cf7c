"""Cost of the system, measured on running processes."""

from __future__ import annotations
