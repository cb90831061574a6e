/** Runs the platform stand-in in a process of its own and sends its address to the parent process. */
import process from 'node:process';
import {startPlatform} from '../../standins/platform/platform.js';
import {platformSettingsSchema} from '../../standins/platform/settings.js';

const platform = await startPlatform(platformSettingsSchema.parse({}));
process.send?.({platform: platform.address});
process.once('disconnect', () => {
	process.exit(0);
});
