"""Liveness, incarnations and subsets of peers."""

from __future__ import annotations
