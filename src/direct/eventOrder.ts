/** Order of the events of a stream, by their ids. */

/** Event ids that count up by one, so that gaps and duplicates can be detected; other ids are relayed unchecked. */
const sequentialIdPattern = /^\d{1,15}$/;

/** Whether an event directly follows the event with id `lastId`; true if that cannot be determined from the ids. */
export function isNextEvent(id: string | undefined, lastId: string | undefined): boolean {
    if (
        id === undefined || lastId === undefined || !sequentialIdPattern.test(id) ||
        !sequentialIdPattern.test(lastId)
    ) {
        return true;
    }
    return Number(id) === Number(lastId) + 1;
}
