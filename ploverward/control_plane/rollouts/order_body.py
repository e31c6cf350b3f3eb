"""The body of a roll-out's order, as operators send it. Loaded with the first order: pydantic is slow to load."""

import pydantic

MAX_NAME_LENGTH = 200  # characters
MAX_DURATION_S = 30 * 86400.0


class OrderBody(pydantic.BaseModel):
    """The body of an order, with the protocol's names."""

    model_config = pydantic.ConfigDict(extra="allow", strict=True)

    destination: str = pydantic.Field(min_length=1, max_length=MAX_NAME_LENGTH)
    target_edition: str = pydantic.Field(alias="targetEdition", min_length=1, max_length=MAX_NAME_LENGTH)
    over_s: float = pydantic.Field(alias="overS", gt=0, le=MAX_DURATION_S)
