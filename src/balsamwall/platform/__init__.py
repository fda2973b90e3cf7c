"""Adapters between the hosting platform's interfaces and the project's."""

from __future__ import annotations
