"""Tests of the request path from entry to backend server."""

from __future__ import annotations
