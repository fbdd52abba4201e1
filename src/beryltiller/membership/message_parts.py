"""What the models of all messages between proxies are made of."""

from typing import Annotated

import msgspec

# Text of a message, in characters.
Text = Annotated[str, msgspec.Meta(max_length=256)]


class BasePart(msgspec.Struct, frozen=True, array_like=True):
    """Base of the parts of messages."""


class BaseMessage(BasePart, frozen=True, array_like=True, tag=True):
    """Base of all messages; the class name is the tag on the wire."""
