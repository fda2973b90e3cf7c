"""Serving system for many models on fewer accelerators."""

from __future__ import annotations
