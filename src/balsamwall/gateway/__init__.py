"""HTTP gateway: forwards callers' requests directly to backend servers."""

from __future__ import annotations
