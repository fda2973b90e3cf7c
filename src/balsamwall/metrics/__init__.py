"""Prometheus metrics."""

from __future__ import annotations
