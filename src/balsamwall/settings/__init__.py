"""Read and validate the INI settings of the daemon."""

from __future__ import annotations
