/** The runtime that the deploy file names: its listeners can share a port, which the system's own may not. */
import {createRequire} from 'node:module';
import process from 'node:process';

const require = createRequire(import.meta.url);

/** Returns the path of the runtime for the processor of this machine. Throws if npm has not installed its package. */
export const runtimeFile = (arch = process.arch) => {
	const name = `node-linux-${arch}`;
	try {
		return require.resolve(`${name}/bin/node`);
	} catch (error) {
		throw new Error(`the package ${name} is not installed; it holds the runtime for processors of type ${arch}`, {cause: error});
	}
};
