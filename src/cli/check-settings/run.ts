/** `jackdawwood check-settings FILE`: prints every fault of a settings file. */
import {faultText} from '../../core/settings/fault-text.js';
import {type SettingsFault} from '../../core/settings/types.js';
import {type ClientIo} from '../client/client-io.js';
import {EXIT_OK, EXIT_SETTINGS} from '../exit-codes.js';
import {loadSettings} from '../load-settings.js';

const faultJson = ({data, ...fault}: SettingsFault) => ({name: data.name, ...fault});

/** Prints the faults of a settings file. Resolves to the exit code. */
export const checkSettingsFile = async (file: string, {json}: {readonly json: boolean}, io: ClientIo): Promise<number> => {
	const {faults = []} = await loadSettings(file);
	if (json) {
		io.write(`${JSON.stringify({file, faults: faults.map(fault => faultJson(fault))})}\n`);
	} else if (faults.length === 0) {
		io.write(`${file}: no faults\n`);
	} else {
		io.write(faults.map(fault => `${faultText(fault)}\n`).join(''));
	}

	return faults.length === 0 ? EXIT_OK : EXIT_SETTINGS;
};
