"""Numbered result codes and the base exception."""

from __future__ import annotations
