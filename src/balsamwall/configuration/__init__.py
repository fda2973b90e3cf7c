"""Tenant configuration: parsing, storage, dissemination and roll-out."""

from __future__ import annotations
