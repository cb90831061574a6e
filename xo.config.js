/** Modules that hold decision code: no I/O, no clock, no randomness. */
const decisionCode = ['src/core/**/*.ts'];

const forbiddenModules = [
	'node:*',
	'undici',
	'polka',
	'p-queue',
	'prom-client',
	'consola',
	'@connectrpc/*',
	'**/runtime/**',
	'**/cli/**',
];

/** @type {import('xo').FlatXoConfig} */
const config = [
	{ignores: ['dist/**', 'src/gen/**', 'test/**/snapshots/**', 'report/**']},
	{
		rules: {
			'unicorn/prevent-abbreviations': 'off',
			'unicorn/no-null': 'off',
			'unicorn/no-process-exit': 'off',
			'n/prefer-global/process': 'off',
			'@typescript-eslint/naming-convention': 'off',
			'@stylistic/operator-linebreak': 'off',
			'capitalized-comments': 'off',
		},
	},
	{
		files: decisionCode,
		rules: {
			'no-restricted-imports': ['error', {patterns: [{group: forbiddenModules, message: 'Decision code does no I/O: take what varies as an argument.'}]}],
			'no-restricted-globals': ['error', 'process', 'fetch', 'setTimeout', 'setInterval', 'setImmediate', 'queueMicrotask', 'performance', 'crypto', 'console', 'Buffer'],
			'no-restricted-properties': [
				'error',
				{object: 'Date', property: 'now', message: 'Take nowMs as an argument.'},
				{object: 'Math', property: 'random', message: 'Take a random source as an argument.'},
			],
			'no-restricted-syntax': ['error', {selector: 'NewExpression[callee.name="Date"][arguments.length=0]', message: 'Take nowMs as an argument.'}],
		},
	},
	{
		files: ['src/**/*.ts', 'tools/**/*.ts'],
		ignores: decisionCode,
		rules: {
			'no-restricted-imports': ['error', {
				patterns: [{regex: String.raw`^(\.\./)+platform/(caller|target|store|fleet|decode|start|main)`, message: 'The platform\'s protocol stays in platform/ at the root: take a port.'}],
			}],
		},
	},
	{
		files: ['test/**/*.ts'],
		rules: {'ava/no-ignored-test-files': 'off'},
	},
];

export default config;
