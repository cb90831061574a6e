/** A parser of server-sent events after the HTML Standard, sections 9.2.5 and 9.2.6, for whole streams. */
export type ParsedEvent = {readonly id: string; readonly type: string; readonly data: string};

export const parseEvents = (bytes: Uint8Array): readonly ParsedEvent[] => {
	// The decoder removes a byte order mark at the start.
	const lines = new TextDecoder().decode(bytes).split(/\r\n|\n|\r/v);
	const events: ParsedEvent[] = [];
	let [id, type, data] = ['', '', ''];
	// What follows the last line ending is no line.
	for (const line of lines.slice(0, -1)) {
		if (line === '') {
			if (data !== '') {
				events.push({id, type, data: data.slice(0, -1)});
			}

			[type, data] = ['', ''];
			continue;
		}

		const [, name, value = ''] = /^(?<name>[^:]*)(?:: ?(?<value>.*))?$/sv.exec(line) ?? [];
		if (name === 'data') {
			data += `${value}\n`;
		} else if (name === 'event') {
			type = value;
		} else if (name === 'id' && !value.includes('\0')) {
			id = value;
		}
	}

	return events;
};
