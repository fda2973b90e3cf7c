"""Development tools of the repository."""

from __future__ import annotations
