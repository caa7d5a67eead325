import { sighupHandler } from './sighupHandler';

sighupHandler.install();
