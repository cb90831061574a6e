/** Makes the start-up snapshot, `target/router.blob`, and checks that the runtime starts from it. */
import {spawnSync} from 'node:child_process';
import process from 'node:process';

/** Time for one step; each takes about 2 s. */
const STEP_TIMEOUT_MS = 120_000;
/** Exit code of a router whose settings have faults, see `src/cli/exit-codes.ts`. */
const EXIT_SETTINGS = 3;

const BLOB = '--snapshot-blob=target/router.blob';

/** Runs the shipped runtime. Throws if it ends in another way than with `expectedCode`. */
const run = (args, expectedCode, env = {}) => {
	const {status, stderr, error} = spawnSync('target/node', args, {timeout: STEP_TIMEOUT_MS, env, encoding: 'utf8'});
	if (status !== expectedCode) {
		throw new Error(`target/node ${args.join(' ')} ended with ${status}: ${error ?? stderr}`);
	}
};

const makeAndCheck = script => {
	run(['--no-warnings', BLOB, '--build-snapshot', script], 0);
	// An empty settings file: the program is started, reads it and reports its faults.
	run([BLOB, 'target/router.mjs'], EXIT_SETTINGS, {JACKDAWWOOD_CONFIG: '/dev/null'});
};

/** Makes the snapshot of the loaded program. Where the runtime can't, makes one that loads the bundle at each start and says so. */
export const makeSnapshot = () => {
	try {
		makeAndCheck('target/snapshot.cjs');
	} catch (error) {
		process.stderr.write(`no snapshot of the loaded program, each start loads the bundle: ${error.message}\n`);
		makeAndCheck('deploy/load-bundle.cjs');
	}
};
