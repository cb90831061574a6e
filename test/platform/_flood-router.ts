/** Runs a router with a settings file in its own process, for tests that pause and resume it. */
import {once} from 'node:events';
import process from 'node:process';
import {loadSettings} from '../../src/cli/load-settings.js';
import {startPlatformRouter} from '../../platform/start-platform-router.js';

const {settings} = await loadSettings(process.argv[2] ?? '');
if (!settings) {
	process.exit(1);
}

const router = await startPlatformRouter(settings);
await once(process, 'SIGTERM');
await router.stop();
process.exit(0);
