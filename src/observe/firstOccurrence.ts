/** Creates a function that returns whether a text occurs for the first time; false for all once `maxTexts` are known. */
export function createFirstOccurrenceCheck(maxTexts: number): (text: string) => boolean {
    const known = new Set<string>();
    return text => {
        const isFirst = !known.has(text) && known.size < maxTexts;
        if (isFirst) {
            known.add(text);
        }
        return isFirst;
    };
}
