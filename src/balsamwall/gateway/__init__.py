"""Entry that forwards requests straight to backend servers."""

from __future__ import annotations
