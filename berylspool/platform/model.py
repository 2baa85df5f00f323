"""Base class of the models for the platform's JSON."""

from pydantic import BaseModel, ConfigDict

__all__ = ["PlatformModel"]


class PlatformModel(BaseModel):
    """Model whose JSON keys have hyphens; unknown keys are ignored."""

    model_config = ConfigDict(
        extra="ignore",
        alias_generator=lambda name: name.replace("_", "-"),
        frozen=True,
    )
