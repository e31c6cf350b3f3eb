"""Pydantic models of the bodies of operators' calls.

Imported with the first such call, as the import of pydantic is slow.
"""

import typing

import pydantic

MAX_AMOUNT = 2**53 - 1  # the largest integer that every JSON parser represents exactly


class AddOrder(pydantic.BaseModel):
    """The body of an add to a tally; the field `actor` holds the amount."""

    model_config = pydantic.ConfigDict(strict=True)

    id: str
    actor: typing.Annotated[int, pydantic.Field(ge=-MAX_AMOUNT, le=MAX_AMOUNT)]


class RetireOrder(pydantic.BaseModel):
    """The body of an order to retire a store."""

    over_s: typing.Annotated[float, pydantic.Field(alias="overS", ge=0, allow_inf_nan=False)] = 0.0
