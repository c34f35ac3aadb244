"""Client of the platform's instance list, which may be out of date."""

import msgspec

from bitternturn.core.decoding import DECODE_ERRORS
from bitternturn.core.errors import BitternturnError, ErrorCode
from bitternturn.platform import const
from bitternturn.platform.client import ObjectClient
from bitternturn.platform.models import InstanceList, ListedInstance


async def async_list_instances(
    client: ObjectClient,
) -> tuple[ListedInstance, ...]:
    """Return the instances that the platform lists.

    Raises BitternturnError PLATFORM_BUSY, PLATFORM_UNREACHABLE or BAD_ANSWER.
    """
    response = await client.async_read(const.PATH_INSTANCES)
    try:
        listed = msgspec.json.decode(response.body, type=InstanceList)
    except DECODE_ERRORS as error:
        raise BitternturnError(
            str(error),
            code=ErrorCode.BAD_ANSWER,
            step='list instances',
            peer=client.transport.peer,
        ) from error
    return listed.instances
