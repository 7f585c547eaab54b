"""Field types that several interfaces share."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta

JOB_ID_PATTERN = r"^req-[0-9]{1,20}$"

JobId = Annotated[str, Meta(pattern=JOB_ID_PATTERN)]
Name = Annotated[str, Meta(min_length=1, max_length=200)]
Amount = Annotated[float, Meta(ge=0, le=1e6)]
Seconds = Annotated[float, Meta(ge=0, le=1e8)]
