"""Schema of a roll-out order that an operator sends. Imported with the first order, since pydantic loads slowly."""

import pydantic

MAX_NAME_LENGTH = 200  # characters
MAX_DURATION_S = 30 * 86400.0


class OrderBody(pydantic.BaseModel):
    """The body of an order. The aliases are the field names of the operator API."""

    model_config = pydantic.ConfigDict(extra="allow", strict=True)

    destination: str = pydantic.Field(min_length=1, max_length=MAX_NAME_LENGTH)
    target_edition: str = pydantic.Field(alias="targetEdition", min_length=1, max_length=MAX_NAME_LENGTH)
    over_s: float = pydantic.Field(alias="overS", gt=0, le=MAX_DURATION_S)
