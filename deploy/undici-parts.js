/** The parts of the HTTP client that the router uses, for the bundle. */
import Dispatcher from '../node_modules/undici/lib/dispatcher/dispatcher.js';
import request from '../node_modules/undici/lib/api/api-request.js';

export {default as Client} from '../node_modules/undici/lib/dispatcher/client.js';
export {default as Pool} from '../node_modules/undici/lib/dispatcher/pool.js';
export {default as buildConnector} from '../node_modules/undici/lib/core/connect.js';

// The client's own index adds its calls to all dispatchers in the same way.
Dispatcher.prototype.request = request;
