"""Entry side of a request in progress."""

from __future__ import annotations
