"""Bodies of operators' calls, by pydantic. Loaded with the first such call: pydantic is slow to load."""

import typing

import pydantic

MAX_AMOUNT = 2**53 - 1  # the largest whole number that every JSON reader keeps


class AddOrder(pydantic.BaseModel):
    """The body of an add to a tally. `actor` is the operators' word for its amount."""

    model_config = pydantic.ConfigDict(strict=True)

    id: str
    actor: typing.Annotated[int, pydantic.Field(ge=-MAX_AMOUNT, le=MAX_AMOUNT)]


class RetireOrder(pydantic.BaseModel):
    """The body of an order to empty a store."""

    over_s: typing.Annotated[float, pydantic.Field(alias="overS", ge=0, allow_inf_nan=False)] = 0.0
