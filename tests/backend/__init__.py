"""Tests of the clients of backend servers."""

from __future__ import annotations
