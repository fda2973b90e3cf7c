"""Forward callers' HTTP requests directly to backend servers."""

from __future__ import annotations
