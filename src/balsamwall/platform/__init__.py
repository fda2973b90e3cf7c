"""Adapter to the users' platform: it only translates."""

from __future__ import annotations
