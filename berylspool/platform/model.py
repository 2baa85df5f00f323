"""Base class of the models for the platform's JSON."""

from pydantic import BaseModel, ConfigDict, ValidationError

__all__ = ["PlatformModel", "describe_error"]


class PlatformModel(BaseModel):
    """Model whose JSON keys have hyphens; unknown keys are ignored."""

    model_config = ConfigDict(
        extra="ignore",
        alias_generator=lambda name: name.replace("_", "-"),
        frozen=True,
    )


def describe_error(error: ValidationError) -> str:
    """Return what is wrong with a text, without any value that it holds.

    An operator's text may hold API keys.
    """
    details = error.errors(
        include_input=False, include_url=False, include_context=False
    )
    return str(details)
