/** Content of a snapshot without the program: each start loads the bundle. */
const {createRequire} = require('node:module');
const path = require('node:path');
const process = require('node:process');
const {startupSnapshot} = require('node:v8');

startupSnapshot.setDeserializeMainFunction(() => {
	process.stdout.write(`${JSON.stringify({time: new Date().toISOString(), level: 'warn', event: 'loading the bundle, there is no snapshot of it'})}\n`);
	createRequire(path.resolve('target/router.mjs'))('./router.mjs');
});
